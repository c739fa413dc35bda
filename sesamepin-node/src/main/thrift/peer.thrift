// Messages between the nodes of one fleet. Each frame on a peer connection is one PeerFrame in
// Thrift's compact protocol behind a 4-byte length. Regenerate with:
//   thrift --gen java:generated_annotations=suppress -out sesamepin-node/src/main/java peer.thrift
namespace java org.sesamepin.node.peer.generated

// How loaded one target is, as its owner sees it.
struct TargetLoad {
  1: string target
  2: i32 freeSlots
  3: i32 batchRunning
  4: i32 queued
  5: bool failing
}

// What a host says of itself with each heartbeat and each reply to one.
struct HostState {
  1: string host
  2: i64 incarnation
  3: i64 epoch
  4: i64 releasedEpoch
  5: bool settled
  6: i64 bundleVersion
  7: i64 headAgeMs
  8: bool draining
  9: list<string> view
  10: list<TargetLoad> targets
  11: map<string, i32> pendingItems
  12: string peerAddress
}

struct Heartbeat {
  1: HostState sender
}

struct HeartbeatReply {
  1: HostState sender
  2: bool consent
  4: i64 delegatedForMs
  5: double fraction
  6: map<string, i64> lentElsewhereMs
  7: list<string> previousView
  8: i64 viewNumber
}

struct ClosedBlock {
  1: i64 blockId
  2: double unused
}

struct TokenRequest {
  1: string customer
  2: double wanted
  3: list<ClosedBlock> closed
  4: string host
}

struct TokenReply {
  1: bool coordinator
  2: i64 blockId
  3: double granted
  4: i64 validForMs
  5: i64 retryAfterMs
  // Whether the coordinator lost tokens lately, so that the request had better wait.
  6: bool recovering
}

struct SlotRequest {
  1: string target
  2: string customer
  3: string requestId
  4: i64 cost
  5: i64 waitMs
  6: string host
}

struct SlotReply {
  1: bool granted
  2: i64 slotId
  3: string reason
}

struct SlotRelease {
  1: string target
  2: i64 slotId
  3: bool targetFailed
}

struct SlotRenewal {
  1: string target
  2: list<i64> slotIds
}

struct BatchItem {
  1: string jobId
  2: i64 fence
  3: i32 index
  4: string customer
  5: string path
  6: binary body
  7: string owner
  8: i32 attempt
}

struct PullItems {
  1: string host
  2: string model
  3: i32 max
}

struct PullReply {
  1: list<BatchItem> items
}

enum OutcomeKind {
  COMPLETED = 1
  INVALID = 2
  PREEMPTED = 3
  TARGET_FAILED = 4
  ABORTED = 5
}

struct ItemOutcome {
  1: string jobId
  2: i64 fence
  3: i32 index
  4: OutcomeKind kind
  5: i32 status
  6: binary body
  7: string target
}

struct ItemOutcomes {
  1: list<ItemOutcome> outcomes
}

// Items that a host still holds; the job's owner answers with those it should drop.
struct ItemRenewal {
  1: string host
  2: string jobId
  3: i64 fence
  4: list<i32> indexes
}

struct ItemRenewalReply {
  1: bool known
}

struct JobNotice {
  1: string jobId
}

struct AbortJob {
  1: string jobId
}

struct JobQuery {
  1: string jobId
}

struct JobReply {
  1: bool owner
  2: string json
}

struct FetchShared {
  1: i64 bundleVersion
  2: i64 epoch
}

struct SharedReply {
  1: optional string signedBundle
  2: optional string assignment
}

// Requests that one host has in flight at one incarnation of a target.
struct InFlight {
  1: string target
  2: i32 online
  3: i32 batch
}

// How long the batch items of a route run.
struct ItemRunTime {
  // Mean number of events of an item.
  1: double events
  // Mean time for an event, suspensions of the item included, in milliseconds.
  2: double msPerEvent
}

// A request that ran at a target when the target ended.
struct PromptRun {
  // Ids of the shared parts of its prompt.
  1: list<string> parts
  // How strongly the end speaks against these parts, 0 to 1.
  2: double weight
}

// A target whose process ended under requests of the reporting host.
struct TargetEndReport {
  1: string serviceName
  // Incarnation of the target.
  2: string target
  3: list<PromptRun> runs
}

// Complete answers that a host has lately got for prompts with a part.
struct PromptSuccesses {
  1: string serviceName
  2: string part
  3: i32 count
}

// The probes of a quarantine that were sent with items of jobs.
struct ItemProbeState {
  1: i32 claims
  // Probes under which their target ended, and no other one.
  2: i32 failures
  // When the next one may be claimed, milliseconds since the Unix epoch.
  3: i64 nextMs
  // Incarnation of the target to which the last one was sent; empty if its outcome is known.
  4: string target
}

// Parts of prompts that are not sent to the targets of a service.
struct PromptQuarantineEntry {
  1: string serviceName
  2: list<string> parts
  // Since when, and when a probe may be sent, milliseconds since the Unix epoch.
  3: i64 sinceMs
  4: i64 untilMs
  // Probes with items; not set by hosts of older versions.
  5: optional ItemProbeState itemProbes
}

// Tells all peers what a host has found out about prompts that end targets.
struct PromptEvidence {
  1: string host
  2: list<TargetEndReport> ends
  3: list<PromptSuccesses> successes
  4: list<PromptQuarantineEntry> quarantine
}

// What the newest answer of a target said about the requests that it takes.
struct TargetLimit {
  // Incarnation of the target.
  1: string target
  // Requests per second from all hosts together; negative when it named no limit.
  2: double perS
  3: i64 ageMs
}

// That the configuration was the newest one at some moment.
struct ConfigConfirmation {
  // Latest revision of the store below the configuration's prefix at that moment.
  1: i64 revision
  2: i64 ageMs
}

// Grants of a coordinator that a host has handled or given up. The host's report counts the
// requests of these grants, as far as they run.
struct GrantReceipt {
  1: string serviceName
  // Random number that the coordinator's process chose at its start.
  2: i64 epoch
  // All numbers up to this one, and single ones beyond.
  3: i64 upTo
  4: set<i64> beyond
}

// What the newest answer of a target to the reporting host said about its speed.
struct TargetPace {
  // Incarnation of the target.
  1: string target
  // Time that work takes there, relative to the usual time.
  2: double factor
  3: i64 ageMs
}

// What a host tells each peer several times a second, and is told in the reply.
struct HostReport {
  1: string host
  2: i64 incarnation
  3: i64 configVersion
  4: bool storeReachable
  5: list<InFlight> inFlight
  // Latest revisions of the store that the host has seen below each prefix that all hosts watch.
  6: list<i64> watchedRevisions
  // Batch items that wait for a place, by service.
  7: map<string, i32> waitingItems
  // How soon the first of these items is due.
  8: i64 dueInMs
  // Incarnations of targets that lately failed requests of this host.
  9: list<string> failing
  // Mean time between two events of a stream, by incarnation of the target, in milliseconds; empty
  // where nothing new is told.
  10: map<string, double> eventMs
  // Run times of batch items, by route; not set by hosts of older versions.
  11: optional map<string, ItemRunTime> itemRunTimes
  // Parts of prompts that are not sent to targets; not set by hosts of older versions.
  12: optional list<PromptQuarantineEntry> promptQuarantine
  // Targets that have named a limit; not set when there are none.
  13: optional list<TargetLimit> targetLimits
  // Not set by a host that has read no configuration, and by hosts of older versions.
  14: optional ConfigConfirmation configConfirmation
  // Rises with each report of the host's incarnation; not set by hosts of older versions.
  15: optional i64 sequence
  // Grants of the last seconds, by service and coordinator; not set by hosts of older versions.
  16: optional list<GrantReceipt> grantReceipts
  // Failure domains that the operator evacuates, all that were ordered at evacuationRevision; both
  // not set by a host that has read no orders, and by hosts of older versions.
  17: optional set<string> evacuatedDomains
  // Revision of the store.
  18: optional i64 evacuationRevision
  // Targets that have lately named how long work takes there; not set when there are none.
  19: optional list<TargetPace> targetLoads
  // Time until targets are warm that may have become cold while they got no requests, as the host
  // has found out itself, milliseconds, by incarnation; not set when there are none.
  20: optional map<string, i64> coldLeftMs
  // Set when the sender needs no report in reply; hosts of older versions send one all the same.
  21: optional bool noReply
}

// Asks a peer for the configuration in force there.
struct ConfigRequest {
}

// The configuration in force at a host, as the store holds it.
struct ConfigReply {
  1: string key
  2: binary value
  // Revision of the store at which it was written; 0 when the host has none.
  3: i64 revision
}

// A request of the service that has ended with a whole response.
struct EndedRequest {
  1: string route
  2: i32 promptTokens
  3: i32 maxOutputTokens
  // Incarnation of the target.
  4: string target
  // Time from being sent to its end, milliseconds.
  5: i64 elapsedMs
}

// Asks the coordinator of a service for a target.
struct PlaceAsk {
  1: string requestId
  2: string host
  3: string serviceName
  4: i32 rank
  // Whether the request's caller was refused before.
  5: bool returned
  6: i64 latencyMs
  7: i64 leftMs
  8: list<string> excluded
  // Software version of the targets that may be granted; absent for any.
  9: optional string version
  // Tokens that the request declares, and its route; not set when it declares none.
  10: optional i32 promptTokens
  11: optional i32 maxOutputTokens
  12: optional string route
  // Requests that declared their tokens and have ended since the host's last one of these messages.
  13: optional list<EndedRequest> ended
}

enum PlaceOutcome {
  GRANTED = 1
  QUEUED = 2
  REFUSED = 3
  NOT_COORDINATOR = 4
}

struct PlaceAnswer {
  1: PlaceOutcome outcome
  2: string targetId
  3: double occupancy
  4: i64 retryAfterMs
  // Number of the grant among those of the coordinator's process to the host for the service, from
  // 1 without gaps. Not set without a grant, and by hosts of older versions.
  5: optional i64 epoch
  6: optional i64 number
}

// Tells a host the place of a request that waited, or of a batch item.
struct PlaceGrant {
  // Empty for a batch item.
  1: string requestId
  2: string serviceName
  // Empty when the request is refused.
  3: string targetId
  4: double occupancy
  // Number of the grant, as in PlaceAnswer.
  5: optional i64 epoch
  6: optional i64 number
}

// Tells a host to suspend one of its batch items at a target.
struct SuspendItem {
  1: string targetId
}

// Asks a peer for a part of its tokens of one customer's rate.
struct LoanRequest {
  1: string customer
  2: double wanted
}

struct LoanReply {
  1: double lent
}

// Asks a holder of a rate group for its share, or tells it that its share is no longer used.
struct ShareRequest {
  1: string group
  2: string host
  // Rises with each message of the asking process.
  3: i64 sequence
  4: optional bool released
}

struct ShareReply {
  1: bool delegated
  2: double fraction
  // Tokens that were removed from the holder's buckets for the asking host, by customer.
  3: optional map<string, double> tokens
}

// Asks the leader of a customer's rate group to admit one request.
struct AdmitRequest {
  1: string customer
  // Set on a request that a holder passes on to the host that uses its share.
  2: optional bool relayed
}

struct AdmitReply {
  1: bool admitted
  2: i64 retryAfterMs
  // Whether the host holds less than half of the rate, so that the request had better wait.
  3: bool recovering
}

// Tokens of a leader that stops, which it has removed from its buckets.
struct RateHandover {
  1: string group
  2: map<string, double> tokensByCustomer
  3: string host
  4: i64 sequence
}

// A call to the platform's store, made by a peer for a host that the store turns away.
struct StoreRelay {
  1: string method
  2: string uri
  3: binary body
  4: i64 timeoutMs
}

struct StoreRelayReply {
  1: i32 status
  2: binary body
}

// Asks a job's owner for published results.
struct JobRead {
  1: string jobId
  2: i32 after
  3: i64 waitMs
}

struct JobResultEntry {
  1: string itemId
  2: bool done
  3: string output
}

struct JobReadReply {
  1: bool owner
  2: i32 total
  3: list<JobResultEntry> results
}

struct Done {
}

struct Failure {
  1: string step
  2: string message
}

union PeerRequest {
  1: Heartbeat heartbeat
  2: TokenRequest tokens
  3: SlotRequest slot
  4: SlotRelease slotRelease
  5: SlotRenewal slotRenewal
  6: PullItems pull
  7: ItemOutcomes outcomes
  8: ItemRenewal itemRenewal
  9: JobNotice jobNotice
  10: AbortJob abortJob
  11: JobQuery jobQuery
  12: FetchShared fetchShared
  13: HostReport report
  14: LoanRequest loan
  15: StoreRelay storeRelay
  16: JobRead jobRead
  17: PlaceAsk placeAsk
  18: PlaceGrant placeGrant
  19: SuspendItem suspendItem
  20: PromptEvidence promptEvidence
  21: ConfigRequest configRequest
  22: ShareRequest shareRequest
  23: AdmitRequest admitRequest
  24: RateHandover rateHandover
}

union PeerReply {
  1: HeartbeatReply heartbeat
  2: TokenReply tokens
  3: SlotReply slot
  4: Done done
  5: PullReply pull
  6: ItemRenewalReply itemRenewal
  7: JobReply job
  8: SharedReply shared
  9: Failure failure
  10: HostReport report
  11: LoanReply loan
  12: StoreRelayReply storeRelay
  13: JobReadReply jobRead
  14: PlaceAnswer placeAnswer
  15: ConfigReply config
  16: ShareReply shareReply
  17: AdmitReply admitReply
}

struct PeerFrame {
  1: i64 callId
  2: optional PeerRequest request
  3: optional PeerReply reply
}
