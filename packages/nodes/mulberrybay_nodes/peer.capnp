@0xd9a5c1f0b7e34a62;

# Frames sent between the nodes of mulberrybay. Each frame is preceded by its
# length in bytes as a little-endian unsigned 32-bit number.

struct Address {
  host @0 :Text;
  port @1 :UInt16;
}

struct NodeInfo {
  nodeId @0 :Text;
  failureDomain @1 :Text;
  peerAddress @2 :Address;
  callerAddress @3 :Address;
  isLeaving @4 :Bool;
  isServing @5 :Bool;
  # The operators' port at the host of peerAddress. It uses bits that the
  # flags leave unused.
  operatorPort @6 :UInt16;
}

struct NodeEpoch {
  nodeId @0 :Text;
  epoch @1 :UInt64;
}

struct Heartbeat {
  sender @0 :NodeInfo;
  epoch @1 :UInt64;
  sequence @2 :UInt64;
  revision @3 :UInt64;
  # Epochs that have expired.
  lapsed @4 :List(NodeEpoch);
  granted @5 :List(NodeEpoch);
  members @6 :List(NodeInfo);
}

struct HeartbeatAck {
  senderId @0 :Text;
  sequence @1 :UInt64;
  isGranted @2 :Bool;
  lapsedEpoch @3 :UInt64;
  revision @4 :UInt64;
}

struct Claim {
  senderId @0 :Text;
  epoch @1 :UInt64;
  claimId @2 :UInt64;
  serverIds @3 :List(Text);
}

struct ClaimAnswer {
  senderId @0 :Text;
  claimEpoch @1 :UInt64;
  claimId @2 :UInt64;
  releasedIds @3 :List(Text);
}

struct ConfigurationRequest {
  senderId @0 :Text;
  knownRevision @1 :UInt64;
}

struct ConfigurationUpdate {
  senderId @0 :Text;
  revision @1 :UInt64;
  documentJson @2 :Data;
}

struct EntryVm {
  nodeId @0 :Text;
  failureDomain @1 :Text;
  peerAddress @2 :Address;
  isLeaving @3 :Bool;
}

struct BackendServer {
  serverId @0 :Text;
  failureDomain @1 :Text;
  address @2 :Address;
  service @3 :Text;
  slotCount @4 :UInt32;
  connectionCap @5 :UInt32;
  isLeaving @6 :Bool;
}

struct IndexSnapshot {
  className @0 :Text;
  indexVersion @1 :UInt64;
  services @2 :List(Text);
}

struct FleetRequest {
  senderId @0 :Text;
  # Infinite if the sender has no VM list.
  knownAgeS @1 :Float64;
  # -1 if the sender has no snapshots.
  knownSnapshotVersion @2 :Int64;
}

struct FleetUpdate {
  senderId @0 :Text;
  ageS @1 :Float64;
  entryVms @2 :List(EntryVm);
  servers @3 :List(BackendServer);
  snapshotVersion @4 :Int64;
  snapshots @5 :List(IndexSnapshot);
}

struct Attempt {
  attemptId @0 :UInt64;
  serverId @1 :Text;
  shard @2 :UInt32;
}

struct AttemptBatch {
  queryId @0 :Text;
  kind @1 :UInt8;
  className @2 :Text;
  indexVersion @3 :UInt64;
  timeLeftUs @4 :Int64;
  idempotencyKey @5 :Text;
  attempts @6 :List(Attempt);
  body @7 :Data;
}

struct AttemptReply {
  queryId @0 :Text;
  attemptId @1 :UInt64;
  serverId @2 :Text;
  outcome @3 :UInt8;
  runState @4 :UInt8;
  indexVersions @5 :List(UInt64);
  serviceTimeUs @6 :UInt32;
  retryAfterMs @7 :UInt32;
  outstandingCount @8 :UInt16;
  queuedCount @9 :UInt16;
  limitCount @10 :UInt16;
  body @11 :Data;
}

struct Cancel {
  queryId @0 :Text;
  attemptIds @1 :List(UInt64);
}

struct Frame {
  version @0 :UInt16;
  union {
    heartbeat @1 :Heartbeat;
    heartbeatAck @2 :HeartbeatAck;
    goodbye @3 :NodeEpoch;
    claim @4 :Claim;
    claimAnswer @5 :ClaimAnswer;
    configurationRequest @6 :ConfigurationRequest;
    configurationUpdate @7 :ConfigurationUpdate;
    attemptBatch @8 :AttemptBatch;
    attemptReply @9 :AttemptReply;
    cancel @10 :Cancel;
    fleetRequest @11 :FleetRequest;
    fleetUpdate @12 :FleetUpdate;
  }
}
