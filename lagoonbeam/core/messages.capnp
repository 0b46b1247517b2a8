@0xc5e4b7a1d2f39681;

struct Shape {
  members @0 :UInt32;
  accelerators @1 :UInt32;
  cores @2 :Float64;
  memoryBytes @3 :UInt64;
  adjacency @4 :Text;
}

struct Job {
  jobId @0 :Text;
  organisation @1 :Text;
  caller @2 :Text;
  kind @3 :Text;
  shape @4 :Shape;
  urgency @5 :Text;
  declaredRunS @6 :Float64;
  startWithinS @7 :Float64;
  idempotent @8 :Bool;
  checkpointable @9 :Bool;
  idempotencyKey @10 :Text;
  fingerprint @11 :Text;
  payload @12 :Text;
  availabilityZone @13 :Text;
  acceptedAtS @14 :Float64;
}

struct JobStatus {
  jobId @0 :Text;
  organisation @1 :Text;
  phase @2 :Text;
  outcome @3 :Text;
  detail @4 :Text;
  results @5 :List(Text);
  availabilityZone @6 :Text;
  durability @7 :Text;
  acceptedAtS @8 :Float64;
  startedAtS @9 :Float64;
}

struct Refusal {
  code @0 :Text;
  detail @1 :Text;
  retryAfterS @2 :Float64;
}

struct Acknowledgement {}

struct Heartbeat {
  instance @0 :Text;
  availabilityZone @1 :Text;
  active @2 :Bool;
  termNumber @3 :UInt64;
  termInstance @4 :Text;
  nextOffset @5 :UInt64;
  rulesVersion @6 :UInt64;
  ready @7 :Bool;
  logUp @8 :Bool;
  freeSlots @9 :UInt32;
  totalSlots @10 :UInt32;
  largestFreeSlots @11 :UInt32;
  queuedSlots @12 :UInt32;
  expectedWaitS @13 :Float64;
  wallS @14 :Float64;
  counter @15 :UInt64;
  draining @16 :Bool;
  maxMembers @17 :UInt32;
}

struct SubmitJob { job @0 :Job; }
struct EnqueueJob { job @0 :Job; isCopy @1 :Bool; }
struct WaitJob { jobId @0 :Text; waitS @1 :Float64; }
struct CancelJob { jobId @0 :Text; }
struct ListJobs { organisation @0 :Text; limit @1 :UInt32; }
struct JobList { jobs @0 :List(JobStatus); }
struct FinishNotice { status @0 :JobStatus; }

struct PublishRules {
  document @0 :Text;
  author @1 :Text;
}
struct GetRules {}
struct RulesStatus {
  version @0 :UInt64;
  document @1 :Text;
}

struct GetInstances {}
struct InstanceList { instances @0 :List(Heartbeat); }

struct GetFleet { availabilityZone @0 :Text; }
struct WorkerStatus {
  worker @0 :Text;
  availabilityZone @1 :Text;
  rack @2 :Text;
  state @3 :Text;
  slots @4 :UInt32;
  busySlots @5 :UInt32;
}
struct FleetStatus { workers @0 :List(WorkerStatus); }
struct DrainEndpoint {
  worker @0 :Text;
  availabilityZone @1 :Text;
}

struct GetEvents { after @0 :UInt64; }
struct EventList { events @0 :Data; }

struct LogEntry { offset @0 :UInt64; data @1 :Data; }
struct RelayEntries { entries @0 :List(LogEntry); }
struct FetchState {}
struct StateImage { data @0 :Data; }

struct Frame {
  callId @0 :UInt64;
  isReply @1 :Bool;
  wallS @2 :Float64;
  counter @3 :UInt64;
  body :union {
    refusal @4 :Refusal;
    acknowledgement @5 :Acknowledgement;
    heartbeat @6 :Heartbeat;
    submitJob @7 :SubmitJob;
    enqueueJob @8 :EnqueueJob;
    waitJob @9 :WaitJob;
    cancelJob @10 :CancelJob;
    listJobs @11 :ListJobs;
    jobList @12 :JobList;
    jobStatus @13 :JobStatus;
    finishNotice @14 :FinishNotice;
    publishRules @15 :PublishRules;
    getRules @16 :GetRules;
    rulesStatus @17 :RulesStatus;
    getInstances @18 :GetInstances;
    instanceList @19 :InstanceList;
    getFleet @20 :GetFleet;
    fleetStatus @21 :FleetStatus;
    drainEndpoint @22 :DrainEndpoint;
    getEvents @23 :GetEvents;
    eventList @24 :EventList;
    relayEntries @25 :RelayEntries;
    fetchState @26 :FetchState;
    stateImage @27 :StateImage;
  }
}
