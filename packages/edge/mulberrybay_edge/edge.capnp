@0xb3f1d9c26a7e4058;

# Messages between edge nodes: heartbeats, one in each datagram, and objects of
# the platform's store, in frames on a TCP connection.

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
  attemptsPerS @11 :Float32;
  storeAgeS @12 :Float32;
  cpuCores @13 :Float32;
  isRestoring @14 :Bool;
  isHub @15 :Bool;
  lacksServers @16 :Bool;
  suspects @17 :List(SuspectReport);
  rollouts @18 :List(RolloutCounts);
  tenants @19 :List(TenantDemand);
}

# The requests of a tenant: their rate, with the refused ones, and the number sent
# in the last window; at the sender, and at all nodes that it hears of.
struct TenantDemand {
  key @0 :UInt64;
  ownPerS @1 :Float32;
  ownCount @2 :Float32;
  allPerS @3 :Float32;
  allCount @4 :Float32;
}

# A request under which backend servers have crashed. Times are seconds before
# the heartbeat was sent.
struct SuspectReport {
  identity @0 :Data;
  crashes @1 :List(Crash);
  hasReplied @2 :Bool;
  repliedAgoS @3 :Float32;
  seenAgoS @4 :Float32;
}

struct Crash {
  serverKey @0 :UInt64;
  hasStartTime @1 :Bool;
  sentAgoS @2 :Float32;
  crashedAgoS @3 :Float32;
}

# What the node has counted of a rollout since the order.
struct RolloutCounts {
  service @0 :Text;
  targetVersion @1 :Text;
  ageS @2 :Float64;
  arms @3 :List(RolloutArm);
  oldInFlightCount @4 :UInt32;
  isCondemned @5 :Bool;
  sentCount @6 :UInt32;
}

# The replies of the old or of the new version on one route. The sums are of
# logarithms of latencies relative to the typical one.
struct RolloutArm {
  isNew @0 :Bool;
  route @1 :Text;
  replyCount @2 :UInt32;
  badCount @3 :UInt32;
  latencyCount @4 :UInt32;
  logLatencySum @5 :Float64;
  logLatencySquareSum @6 :Float64;
}

# Requests the objects of one kind that changed after a version. Kinds are
# numbered from 0, in the same order at every node.
struct UpdateRequest {
  version @0 :UInt16;
  kindIndex @1 :UInt16;
  sinceVersion @2 :UInt64;
}

struct StoredObject {
  name @0 :Text;
  version @1 :UInt64;
  # A JSON object.
  value @2 :Text;
  # A JSON object; empty if there is none.
  status @3 :Text;
}

# The reply to an UpdateRequest: the names of all objects of the kind, and the
# objects that changed after the requested version.
struct Update {
  version @0 :UInt16;
  kindIndex @1 :UInt16;
  storeVersion @2 :UInt64;
  names @3 :List(Text);
  items @4 :List(StoredObject);
  # Some of the objects were kept when the store returned from an older copy.
  hasKeptObjects @5 :Bool;
}
