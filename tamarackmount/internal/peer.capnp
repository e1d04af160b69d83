@0xd3b1f6a09c5e2a47;
# Messages between entry VMs. Every struct has a dataclass of the same name in
# tamarackmount/kernel/messages.py, with its field names in snake case.

enum RefusalReason {
  noUpstream @0;
  lineFull @1;
  deadline @2;
  ceiling @3;
  noOwner @4;
  alreadyAttempted @5;
  notDurable @6;
  draining @7;
  homeUnreachable @8;
  badKey @9;
  unknownQueue @10;
  retriesSpent @11;
  upstreamFailed @12;
  cutOff @13;
}

enum AttemptResult {
  answered @0;
  failedBeforeSend @1;
  failedAfterSend @2;
  unused @3;
}

enum AttemptState {
  started @0;
  answered @1;
}

enum Outcome {
  answered @0;
  notRun @1;
  unknown @2;
}

enum JobAction {
  submit @0;
  view @1;
  list @2;
  explain @3;
  cancel @4;
}

struct Heartbeat {
  memberId @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  sequence @3 :UInt64;
  epoch @4 :UInt64;
  owner @5 :Text;
  configOffset @6 :UInt64;
  logAgeMs @7 :UInt64;
  leaving @8 :Bool;
}

struct ClaimRequest {
  candidate @0 :Text;
  incarnation @1 :UInt64;
  epoch @2 :UInt64;
}

struct ClaimReply {
  memberId @0 :Text;
  epoch @1 :UInt64;
  accepted @2 :Bool;
}

struct TicketRequest {
  ticketId @0 :Text;
  requestId @1 :Text;
  teamId @2 :Text;
  queue @3 :Text;
  idempotent @4 :Bool;
  remainingMs @5 :UInt32;
  excluded @6 :List(Text);
}

struct TicketGrant {
  ticketId @0 :Text;
  upstreamId @1 :Text;
  epoch @2 :UInt64;
  remainingMs @3 :UInt32;
}

struct TicketRefusal {
  ticketId @0 :Text;
  reason @1 :RefusalReason;
  retryAfterMs @2 :UInt32;
}

struct TicketRelease {
  ticketId @0 :Text;
  result @1 :AttemptResult;
  serviceMs @2 :UInt32;
}

struct TicketWithdrawal {
  ticketId @0 :Text;
}

struct HeldTicket {
  ticketId @0 :Text;
  requestId @1 :Text;
  teamId @2 :Text;
  queue @3 :Text;
  upstreamId @4 :Text;
  idempotent @5 :Bool;
  remainingMs @6 :UInt32;
  holder @7 :Text;
}

struct MemberRun {
  memberId @0 :Text;
  incarnation @1 :UInt64;
}

struct LoanCopy {
  epoch @0 :UInt64;
  sequence @1 :UInt64;
  loans @2 :List(HeldTicket);
  ended @3 :List(Text);
  runs @4 :List(MemberRun);
  isWhole @5 :Bool;
}

struct LoanCopied {
  epoch @0 :UInt64;
  sequence @1 :UInt64;
}

struct AttemptEntry {
  teamId @0 :Text;
  requestId @1 :Text;
  state @2 :AttemptState;
  keepMs @3 :UInt32;
}

struct AttemptCopy {
  sequence @0 :UInt64;
  entries @1 :List(AttemptEntry);
}

struct AttemptCopied {
  sequence @0 :UInt64;
}

struct HoldingsRequest {
  epoch @0 :UInt64;
}

struct HoldingsReport {
  epoch @0 :UInt64;
  tickets @1 :List(HeldTicket);
  attempts @2 :List(AttemptEntry);
  witnessedEpoch @3 :UInt64;
  witnessedRuns @4 :List(MemberRun);
}

struct HttpHeader {
  name @0 :Text;
  value @1 :Text;
}

struct ForwardedRequest {
  callId @0 :UInt64;
  requestId @1 :Text;
  teamId @2 :Text;
  queue @3 :Text;
  idempotent @4 :Bool;
  remainingMs @5 :UInt32;
  method @6 :Text;
  path @7 :Text;
  headers @8 :List(HttpHeader);
  body @9 :Data;
  traceparent @10 :Text;
}

struct ForwardedReply {
  callId @0 :UInt64;
  outcome @1 :Outcome;
  reason @2 :Text;
  retryAfterMs @3 :UInt32;
  status @4 :UInt16;
  headers @5 :List(HttpHeader);
  body @6 :Data;
}

struct ForwardsClosed {
  incarnation @0 :UInt64;
  taken @1 :List(UInt64);
}

struct JobCall {
  callId @0 :UInt64;
  action @1 :JobAction;
  teamId @2 :Text;
  jobId @3 :Text;
  spec @4 :Text;
}

struct JobAnswer {
  callId @0 :UInt64;
  status @1 :UInt16;
  body @2 :Text;
  retryAfterMs @3 :UInt32;
}

struct JobCopy {
  epoch @0 :UInt64;
  sequence @1 :UInt64;
  records @2 :List(Text);
}

struct JobCopied {
  sequence @0 :UInt64;
}

struct JobsWanted {
  epoch @0 :UInt64;
}

struct JobsHeld {
  epoch @0 :UInt64;
  records @1 :List(Text);
  more @2 :Bool;
  index @3 :UInt32;
}

struct ConfigEntry {
  path @0 :Text;
  version @1 :UInt64;
  text @2 :Text;
}

struct ConfigWanted {
  haveOffset @0 :UInt64;
}

struct ConfigSync {
  offset @0 :UInt64;
  entries @1 :List(ConfigEntry);
}

struct Envelope {
  sender @0 :Text;
  union {
    heartbeat @1 :Heartbeat;
    claimRequest @2 :ClaimRequest;
    claimReply @3 :ClaimReply;
    ticketRequest @4 :TicketRequest;
    ticketGrant @5 :TicketGrant;
    ticketRefusal @6 :TicketRefusal;
    ticketRelease @7 :TicketRelease;
    ticketWithdrawal @8 :TicketWithdrawal;
    loanCopy @9 :LoanCopy;
    loanCopied @10 :LoanCopied;
    attemptCopy @11 :AttemptCopy;
    attemptCopied @12 :AttemptCopied;
    holdingsRequest @13 :HoldingsRequest;
    holdingsReport @14 :HoldingsReport;
    forwardedRequest @15 :ForwardedRequest;
    forwardedReply @16 :ForwardedReply;
    jobCall @17 :JobCall;
    jobAnswer @18 :JobAnswer;
    jobCopy @19 :JobCopy;
    jobCopied @20 :JobCopied;
    jobsWanted @21 :JobsWanted;
    jobsHeld @22 :JobsHeld;
    configWanted @23 :ConfigWanted;
    configSync @24 :ConfigSync;
    forwardsClosed @25 :ForwardsClosed;
  }
}
