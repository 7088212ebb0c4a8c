@0xb3f1d9c26a7e4058;

# Heartbeats between the nodes that serve callers, one in each datagram.

struct EdgeHeartbeat {
  version @0 :UInt16;
  name @1 :Text;
  incarnation @2 :UInt64;
  failureDomain @3 :Text;
  callerHost @4 :Text;
  callerPort @5 :UInt16;
  peerHost @6 :Text;
  peerPort @7 :UInt16;
  isServing @8 :Bool;
  configurationRevision @9 :UInt64;
  changedVersions @10 :List(UInt64);
}
