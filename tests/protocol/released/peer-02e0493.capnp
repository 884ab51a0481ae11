@0xd3a1f0c85b7e6421;

# Messages between routers and controllers. One Envelope per frame.

struct MemberInfo {
  hostId @0 :Text;
  address @1 :Text;
  httpAddress @2 :Text;
  region @3 :Text;
  domain @4 :Text;
  incarnation @5 :UInt64;
  sequence @6 :UInt32;
  state @7 :Text;
}

struct ObjectRecord {
  key @0 :Text;
  version @1 :UInt64;
  value @2 :Data;
  deleted @3 :Bool;
  writeId @4 :Text;
  era @5 :UInt64;
}

struct ObjectVersion {
  key @0 :Text;
  version @1 :UInt64;
  era @2 :UInt64;
}

struct ClaimEntry {
  table @0 :Text;
  key @1 :Text;
  claimant @2 :Text;
  state @3 :Text;
  value @4 :Data;
  ageMs @5 :UInt64;
}

struct EndpointReport {
  endpointId @0 :Text;
  state @1 :Text;
  runningCount @2 :UInt32;
  queuedCount @3 :UInt32;
  capacityCount @4 :UInt32;
  versions @5 :List(Text);
  prefixHashes @6 :List(UInt64);
  ageMs @7 :UInt32;
  sequence @8 :UInt64;
  prefixDigest @9 :UInt64;
}

struct BillRecord {
  billId @0 :Text;
  requestId @1 :Text;
  customer @2 :Text;
  service @3 :Text;
  model @4 :Text;
  version @5 :Text;
  endpointId @6 :Text;
  promptTokens @7 :UInt32;
  outputTokens @8 :UInt32;
  costMicrounits @9 :UInt64;
  outcome @10 :Text;
  wallMs @11 :UInt64;
}

struct VersionStats {
  team @0 :Text;
  model @1 :Text;
  version @2 :Text;
  requestCount @3 :UInt64;
  errorCount @4 :UInt64;
  ratingCount @5 :UInt64;
  ratingSum @6 :Float64;
  ratingSquareSum @7 :Float64;
  callerCount @8 :UInt64;
  costMicrounits @9 :UInt64;
  firstTokenMsSum @10 :Float64;
  firstTokenCount @11 :UInt64;
  route @12 :Text;
  slowCount @13 :UInt64;
}

struct CrashCount {
  fingerprint @0 :UInt64;
  endpointIds @1 :List(Text);
  ageMs @2 :UInt64;
  answeredAgeMs @3 :Int64 = -1;
  timings @4 :List(CrashTiming);
}

struct CrashTiming {
  ageMs @0 :UInt64;
  runMs @1 :Int64 = -1;
  answered @2 :Bool;
}

struct Ping {
  member @0 :MemberInfo;
  updates @1 :List(MemberInfo);
  digest @2 :UInt64;
  configAgeMs @3 :Float64;
  crashes @4 :List(CrashCount);
}

struct Ack {
  member @0 :MemberInfo;
  updates @1 :List(MemberInfo);
  digest @2 :UInt64;
  configAgeMs @3 :Float64;
  crashes @4 :List(CrashCount);
}

struct IndirectPing {
  targetHostId @0 :Text;
  targetAddress @1 :Text;
}

struct IndirectAck {
  reached @0 :Bool;
}

struct ObjectPush {
  objects @0 :List(ObjectRecord);
  hopCount @1 :UInt8;
  hostId @2 :Text;
  salt @3 :UInt64;
  digest @4 :UInt64;
  configAgeMs @5 :Float64;
}

struct ObjectSync {
  versions @0 :List(ObjectVersion);
  configAgeMs @1 :Float64;
  digest @2 :UInt64;
  objectLimitBytes @3 :UInt64;
}

struct ObjectSyncReply {
  objects @0 :List(ObjectRecord);
  wantedKeys @1 :List(Text);
  configAgeMs @2 :Float64;
  digest @3 :UInt64;
  deferred @4 :List(ObjectVersion);
}

struct ClaimWrite {
  table @0 :Text;
  key @1 :Text;
  claimant @2 :Text;
  value @3 :Data;
  rosterVersion @4 :UInt64;
}

struct ClaimRead {
  table @0 :Text;
  key @1 :Text;
  rosterVersion @2 :UInt64;
}

struct ClaimSettle {
  table @0 :Text;
  key @1 :Text;
  claimant @2 :Text;
  state @3 :Text;
  value @4 :Data;
  rosterVersion @5 :UInt64;
}

struct ClaimReply {
  status @0 :Text;
  state @1 :Text;
  claimant @2 :Text;
  value @3 :Data;
  rosterVersion @4 :UInt64;
}

struct ClaimSync {
  hostId @0 :Text;
  rosterVersion @1 :UInt64;
  roster @2 :ObjectRecord;
  buckets @3 :List(UInt16);
  after @4 :Text;
  wantPrevious @5 :Bool;
}

struct ClaimSyncReply {
  ready @0 :Bool;
  rosterVersion @1 :UInt64;
  entries @2 :List(ClaimEntry);
  missingBuckets @3 :List(UInt16);
  lostBuckets @4 :List(UInt16);
  more @5 :Bool;
  previous @6 :ObjectRecord;
}

struct GrantRequest {
  endpointId @0 :Text;
  hostId @1 :Text;
  incarnation @2 :UInt64;
  inFlightCount @3 :UInt32;
  wantedCount @4 :UInt32;
  rosterVersion @5 :UInt64;
  address @6 :Text;
  ownerIncarnation @7 :UInt64;
  seenNumber @8 :UInt64;
  prefixDigest @9 :UInt64;
}

struct GrantReply {
  status @0 :Text;
  slotCount @1 :UInt32;
  ttlMs @2 :UInt32;
  report @3 :EndpointReport;
  rosterVersion @4 :UInt64;
  ownerIncarnation @5 :UInt64;
  number @6 :UInt64;
}

struct GrantRevoke {
  report @0 :EndpointReport;
  rosterVersion @1 :UInt64;
  ownerId @2 :Text;
  ownerIncarnation @3 :UInt64;
  number @4 :UInt64;
}

struct EndpointNotice {
  endpointId @0 :Text;
  event @1 :Text;
  hostId @2 :Text;
}

struct BillReplicate {
  batchId @0 :Text;
  bills @1 :List(BillRecord);
  holder @2 :Text;
  holderIncarnation @3 :UInt64;
}

struct BillConfirm {
  batchId @0 :Text;
  holder @1 :Text;
  holderIncarnation @2 :UInt64;
}

struct StatsRequest {
  requester @0 :Text;
}

struct StatsReply {
  hostId @0 :Text;
  incarnation @1 :UInt64;
  versions @2 :List(VersionStats);
  orders @3 :List(OrderAge);
  paces @4 :List(PaceCount);
}

struct PaceCount {
  service @0 :Text;
  version @1 :Text;
  model @2 :Text;
  level @3 :Int32;
  streamCount @4 :UInt64;
}

struct OrderAge {
  service @0 :Text;
  targetVersion @1 :Text;
  ageMs @2 :Float64;
}

struct MembersRequest {
  requester @0 :Text;
}

struct MembersReply {
  members @0 :List(MemberInfo);
  configAgeMs @1 :Float64;
}

struct Done {
  detail @0 :Text;
}

struct Failure {
  message @0 :Text;
  step @1 :Text;
}

# Columns: a list of records takes ten times the CPU time to encode and decode.
struct EndpointLoads {
  endpointIds @0 :List(Text);
  inFlightCounts @1 :List(UInt32);
  pendingTokens @2 :List(UInt32);
  paceKeys @3 :List(UInt32);
  paceLogMeans @4 :List(Int16);
  paceCounts @5 :List(UInt16);
  withPaces @6 :Bool;
}

struct EndpointOutageAges {
  incarnationIds @0 :List(Text);
  agesMs @1 :List(UInt32);
}

struct DomainSync {
  hostId @0 :Text;
  versions @1 :List(ObjectVersion);
  loads @2 :EndpointLoads;
  crashes @3 :List(CrashCount);
  partCrashes @4 :List(CrashCount);
  objectLimitBytes @5 :UInt64;
  outages @6 :EndpointOutageAges;
  outagesOnly @7 :Bool;
}

struct DomainSyncReply {
  storeAgeMs @0 :Float64;
  storeFailedAgeMs @1 :Float64;
  versions @2 :List(ObjectVersion);
  wholeKinds @3 :List(Text);
  objects @4 :List(ObjectRecord);
  loads @5 :EndpointLoads;
  crashes @6 :List(CrashCount);
  partCrashes @7 :List(CrashCount);
  storeEra @8 :UInt64;
  deferred @9 :List(ObjectVersion);
  outages @10 :EndpointOutageAges;
}

struct SnapshotPartRequest {
  kind @0 :Text;
  version @1 :UInt64;
  era @2 :UInt64;
  offsetBytes @3 :UInt64;
}

struct SnapshotPartReply {
  data @0 :Data;
  sizeBytes @1 :UInt64;
}

struct EndpointPermitRequest {
  incarnationId @0 :Text;
  limited @1 :Bool;
  ratePerS @2 :Float64;
  ageMs @3 :Float64;
  wanted @4 :Bool;
  maxWaitMs @5 :Float64;
}

struct EndpointPermitReply {
  limited @0 :Bool;
  ratePerS @1 :Float64;
  ageMs @2 :Float64;
  granted @3 :Bool;
  waitMs @4 :Float64;
}

struct EndpointSlotRequest {
  incarnationId @0 :Text;
  slotCount @1 :UInt32;
  overloadLimitPerS @2 :Float64;
  lifeMs @3 :Float64;
  releasedId @4 :UInt64;
  refused @5 :Bool;
}

struct EndpointSlotReply {
  grantId @0 :UInt64;
  waitMs @1 :Float64;
}

struct Envelope {
  callId @0 :UInt64;
  sender @1 :Text;
  isReply @2 :Bool;
  union {
    ping @3 :Ping;
    ack @4 :Ack;
    indirectPing @5 :IndirectPing;
    indirectAck @6 :IndirectAck;
    objectPush @7 :ObjectPush;
    objectSync @8 :ObjectSync;
    objectSyncReply @9 :ObjectSyncReply;
    claimWrite @10 :ClaimWrite;
    claimRead @11 :ClaimRead;
    claimSettle @12 :ClaimSettle;
    claimReply @13 :ClaimReply;
    claimSync @14 :ClaimSync;
    claimSyncReply @15 :ClaimSyncReply;
    grantRequest @16 :GrantRequest;
    grantReply @17 :GrantReply;
    grantRevoke @18 :GrantRevoke;
    endpointNotice @19 :EndpointNotice;
    billReplicate @20 :BillReplicate;
    billConfirm @21 :BillConfirm;
    statsRequest @22 :StatsRequest;
    statsReply @23 :StatsReply;
    membersRequest @24 :MembersRequest;
    membersReply @25 :MembersReply;
    done @26 :Done;
    failure @27 :Failure;
    domainSync @28 :DomainSync;
    domainSyncReply @29 :DomainSyncReply;
    endpointPermitRequest @30 :EndpointPermitRequest;
    endpointPermitReply @31 :EndpointPermitReply;
    endpointSlotRequest @32 :EndpointSlotRequest;
    endpointSlotReply @33 :EndpointSlotReply;
    snapshotPartRequest @34 :SnapshotPartRequest;
    snapshotPartReply @35 :SnapshotPartReply;
  }
}
