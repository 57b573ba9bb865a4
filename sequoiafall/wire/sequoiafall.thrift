// Messages between the processes of the system.
namespace py sequoiafall.wire.gen

struct Member {
  1: string instance
  2: i64 incarnation
  3: string zone
  4: string controller_address
  5: list<string> gateway_addresses
}

// `previous_revision` is the revision of the view that this one replaced.
struct View {
  1: i64 revision
  2: list<Member> members
  3: i64 previous_revision
}

struct Head {
  1: i64 revision
  2: View view
  3: list<View> pending_views
}

// `before` and `after` hold JSON objects; an empty string stands for "absent".
struct Edit {
  1: string kind
  2: string name
  3: string before
  4: string after
}

struct Change {
  1: i64 revision
  2: string operation_id
  3: string actor
  4: i64 committed_at_ms
  5: list<Edit> edits
}

struct Row {
  1: string kind
  2: string name
  3: i64 revision
  4: string value
}

struct Snapshot {
  1: i64 revision
  2: list<Row> rows
}

struct MemberStatus {
  1: string instance
  2: i64 incarnation
  3: string zone
  4: bool ready
  5: bool leaving
  6: i64 head_revision
  7: i32 head_age_ms
  8: list<string> gateway_addresses
  9: string controller_address
  // Name of the member whose voting seat the instance holds; empty if none.
  10: string seat
  11: i64 in_force_revision
}

// Of two members one sends heartbeats and the other one answers. The sender
// returns `answered_at_us` of the last reply, so that the heartbeat proves to the
// answering process what the reply proves to the sender.
struct Heartbeat {
  1: string instance
  2: i64 incarnation
  3: i64 head_revision
  4: bool confirms
  5: MemberStatus status
  6: i64 echoed_at_us
  7: i64 echoed_incarnation
}

// `answered_at_us` is the monotonic time of the answering process.
struct HeartbeatReply {
  1: string instance
  2: i64 incarnation
  3: i64 head_revision
  4: bool confirms
  5: MemberStatus status
  6: i64 answered_at_us
}

struct Ack {
  1: i64 revision
  2: bool accepted
  3: string reason
}

struct NotifyHead {
  1: Head head
  2: list<Change> changes
}

// Claims the voting seat `seat` for a process without memory of the head;
// `handed_over_by` names the instance that gave the seat up.
struct SeatClaim {
  1: string seat
  2: string instance
  3: i64 incarnation
  4: string handed_over_by
}

struct FetchState {
  1: i64 after_revision
  2: optional SeatClaim claim
}

// Either `changes` that follow `after_revision` without a gap, or a snapshot.
struct StateReply {
  1: Head head
  2: list<Change> changes
  3: optional Snapshot snapshot
  4: bool confirms
  // Seat of the replying instance; empty if it has none.
  5: string seat
  6: bool claim_granted
  7: list<SeatClaim> seat_claims
  8: i64 in_force_revision
}

struct OutstandingGrant {
  1: string grant_id
  2: string gateway
  3: i64 tokens
  4: i32 expires_in_ms
}

struct Handover {
  1: string resource
  2: i64 fencing_token
  3: i64 level_tokens
  4: list<OutstandingGrant> grants
  5: string seat
  6: i64 head_revision
  // Revision of the last view in which the sender owned the resource.
  7: i64 last_view_revision
  8: string from_instance
  // State of a pool as a JSON object; empty for a quota or a seat.
  9: string pool_state
}

struct GatewayPoll {
  1: string gateway
  2: i64 head_revision
  3: bool leaving
  4: i32 open_streams
}

struct GatewayPollReply {
  1: Head head
  2: i32 fresh_for_ms
  3: list<Change> changes
  4: optional Snapshot snapshot
  5: list<MemberStatus> statuses
  6: bool confirms
  7: list<string> owners_ready
}

struct Settlement {
  1: string grant_id
  2: i64 fencing_token
  3: i64 unused_tokens
  // No request that spent from the grant is still running.
  4: bool is_final
}

struct QuotaRequest {
  1: string gateway
  2: string organisation
  3: i64 shortage_tokens
  4: i64 demand_tokens_per_s
  5: list<Settlement> settlements
  6: i64 head_revision
}

struct QuotaReply {
  1: string grant_id
  2: i64 tokens
  3: i32 expires_in_ms
  4: i32 retry_after_ms
  5: i64 fencing_token
  // Empty when granted; else a refusal reason.
  6: string reason
}

struct PlaceRequest {
  1: string request_id
  2: string gateway
  3: string pool
  4: string organisation
  5: string adapter
  6: string version
  7: i32 prompt_tokens
  8: i32 max_tokens
  9: list<string> excluded_servers
  10: i32 wait_ms
  11: list<i64> prefix_hashes
}

struct PlaceReply {
  1: string place_id
  2: string backend_server
  3: string address
  4: i64 fencing_token
  5: i32 expires_in_ms
  // Empty when granted; else a refusal reason.
  6: string reason
  7: i32 retry_after_ms
  8: bool waited_for_load
}

enum PlaceState {
  STARTED = 1
  RUNNING = 2
  RELEASED = 3
}

struct PlaceEntry {
  1: string place_id
  2: string request_id
  3: PlaceState state
  4: string organisation
  5: string adapter
  6: string version
  7: string backend_server
  8: i32 generated_tokens
  // Empty, or how the request ended: ok, failed, wrong_adapter, cancelled, refused.
  9: string outcome
}

struct PlaceUpdate {
  1: string gateway
  2: string pool
  3: list<PlaceEntry> entries
}

// Asks the owner of `pool` to give some of its loads to `borrower`.
struct LoanRequest {
  1: string pool
  2: string borrower
  3: i32 loads
}

struct LoanReply {
  1: i32 loads
}

struct StatusRequest {
  1: string resource
}

struct StatusReply {
  // A JSON object for operators.
  1: string body
}

// Reply to a request that got no other; `acted` tells whether a handler ran.
struct Fault {
  1: bool acted
  2: string detail
}

// An instance of a deployment that keeps its state in the platform's store.
struct FleetMember {
  1: string instance
  2: i64 incarnation
  3: string zone
  4: string front_address
  5: string peer_address
  6: bool ready
  7: bool leaving
  8: i32 capacity_percent
  // Whether it no longer polls and may serve callers nevertheless. For routing it
  // counts as leaving, for limits that all instances share it does not.
  9: optional bool is_silent
}

// A row as the store holds it; `version` comes from the store's one counter.
struct MirroredRow {
  1: string table
  2: string key
  3: binary value
  4: i64 version
  5: bool deleted
  // Version that the content was written with, if it is of an earlier era.
  6: optional i64 written_version
  // Digests of all configurations that the sender knows, beside the configuration.
  7: optional list<i64> known_digests
}

// A place that a gateway holds at a backend server.
struct HeldPlace {
  1: string request_id
  2: string pool
  3: string server
  4: string adapter
  5: i32 version
  6: i32 prompt_tokens
  // Until the caller gives up; the place ends then, reported or not.
  7: i32 time_left_ms
}

// A backend server that said itself that it is leaving. `born` is its start, 0 if
// that is not known.
struct LeftServer {
  1: string server
  2: i64 born
}

// A backend server that asked the sender for a pause.
struct PausedServer {
  1: string server
  2: i32 left_ms
}

// What a backend server last said about the requests per second that it takes
// from all instances together. A negative rate is a limit that it has lifted.
struct ServerLimit {
  1: string server
  2: i64 born
  3: double rate_per_s
  4: i32 age_ms
}

// `term` is the fencing token of the leader that the member follows, and
// `revision` the leader's revision of the rows that the member has.
// `held` and `recent_tokens` are sent with the first poll of a term. A new leader
// sends one with `announces` to make itself known.
// Crash of one start of a server while it ran requests with a suspect.
struct PartCrash {
  1: string server
  2: i64 born
  3: i32 age_ms
  4: bool refuted
}

// Evidence on a suspect: a part of prompts or the identity of a request, in `part`.
struct PartEvidence {
  1: string part
  2: list<PartCrash> crashes
  // Since a response to a request with the suspect last began; -1 if none is known.
  3: i32 begun_age_ms
  // Until a request may be tried, negative after it; absent if it is not harmful.
  4: optional i32 trial_in_ms
  5: i32 failed_trials
}

// A stream that began at a backend server of a software version, and that its caller
// may still take up for `left_ms`. See `stream_versions` for the key.
struct StreamOrigin {
  1: binary key
  2: string pool
  3: string software
  4: i32 left_ms
}

struct FleetPoll {
  1: FleetMember member
  2: i64 term
  3: i64 revision
  4: map<string, i64> tokens_by_organisation
  5: list<MirroredRow> rows
  6: list<HeldPlace> held
  7: map<string, i64> recent_tokens_by_organisation
  8: bool announces
  9: i64 members_revision
  10: map<string, i64> newest_by_table
  // Those that the leader has not named yet.
  11: list<LeftServer> left
  12: list<PausedServer> paused
  13: i64 left_revision
  // Those that changed since the sender's last poll.
  14: list<ServerLimit> limits
  15: i64 limits_revision
  // Evidence on suspects that changed since the sender's last poll.
  16: list<PartEvidence> evidence
  17: i64 evidence_revision
  // Where streams began that the leader has not been told of: in the first polls of a
  // term all that the sender knows, then those that were placed without a leader.
  // On the first poll also the software versions of services with several of them.
  18: list<StreamOrigin> origins
  19: map<string, list<string>> software_by_service
  // On the first poll of a term: tokens that the sender admitted in each of the last
  // time slots, the oldest first, see `token_bucket`.
  20: optional map<string, list<i64>> recent_use_by_organisation
}

// `left` are all servers that said that they are leaving, if the leader's
// `left_revision` differs from the poll's; else it is empty.
// `members` are those that changed after the poll's `members_revision`; one that
// is gone is marked as leaving. `limits` are those that changed after the poll's
// `limits_revision`. `lease_version` is the version of the lease row after the last renewal.
struct FleetPollReply {
  1: bool leads
  2: i64 term
  3: i64 revision
  4: list<MirroredRow> rows
  5: list<FleetMember> members
  6: list<string> over_limit
  7: bool reaches_store
  8: map<string, i64> newest_by_table
  9: string leader_address
  10: i64 lease_version
  11: i64 members_revision
  12: list<LeftServer> left
  13: i64 left_revision
  14: list<ServerLimit> limits
  15: i64 limits_revision
  16: list<PartEvidence> evidence
  17: i64 evidence_revision
  // Software versions that may have streams, of services with several of them; absent
  // as long as the leader has not read what was stored.
  18: optional map<string, list<string>> software_by_service
  // Milliseconds since the store is last known to have been in use, and since the
  // leader knew all entries of servers; absent from leaders of earlier builds.
  19: optional i32 store_age_ms
  20: optional i32 servers_age_ms
  // Whether a server that the store names would be known to the leader by now, see
  // `leader_standing`; absent from leaders of earlier builds.
  21: optional bool knows_servers
}

// Asks for a place of a request at an engine. `on_time_ms` is the time left in
// which its first token would be on time, negative if that has passed.
struct EngineAsk {
  1: string request_id
  2: string organisation
  3: string pool
  4: string adapter
  5: i32 prompt_tokens
  7: i32 cost_tokens
  8: i32 rank
  9: i32 on_time_ms
  10: i32 time_left_ms
  12: string zone
  13: list<string> excluded
  14: bool charged
  15: i64 term
  16: string instance
  // Suspects: the identity of the request, and the parts of its prompt that other
  // requests may share. For a plain service, which `pool` names, only the identity.
  17: list<string> shared_parts
  // Software version that the server must have, absent for any.
  18: optional string software
  // Key of a stream that begins, absent if it cannot be taken up.
  19: optional binary stream_key
  // Key of the stream that is taken up, empty if the caller did not name it.
  20: optional binary resumes_key
  21: bool is_take_up
  // Until when the caller may take the stream up.
  22: i32 stream_left_ms
}

// `reason` is empty if the place is granted.
struct EngineAnswer {
  1: string server
  2: i32 version
  3: string reason
  4: i32 retry_after_ms
  5: bool charged
  6: string detail
  7: string address
  // Whether the leader waits to hear that the response has begun.
  8: bool is_trial
  // Software version of the server.
  9: optional string software
}

// Asks to send a request to one of the servers, which have named a limit.
// The preferred one comes first.
struct SendPermitRequest {
  1: list<string> servers
  2: i32 max_wait_ms
  3: i64 term
}

// `server` is empty if the request is refused; `wait_ms` is then the time until a
// permit can be expected, else the time to wait before the request is sent.
struct EvidenceNotice {
  1: list<PartEvidence> evidence
}

struct SendPermitReply {
  1: bool leads
  2: string server
  3: i32 wait_ms
}

struct EngineEnd {
  1: string request_id
  2: string pool
  3: string server
  4: string outcome
  // Whether a response has begun, as opposed to the end of the place.
  5: bool has_begun
  // Whether the server crashed before that; then also its start and the suspects.
  6: bool has_crashed
  7: i64 born
  8: list<string> shared_parts
}

struct EngineEnds {
  1: i64 term
  2: list<EngineEnd> ended
}
