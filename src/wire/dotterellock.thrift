// Wire form of include/dotterellock/messages.hpp. A frame body is the struct
// {1: i16 version, 2: i16 kind, 3: <struct of that kind> body}, written by
// src/wire/codec.cpp; kind 0 is `hello`, kind n is the n-th alternative of
// dotterellock::message. Field numbers are never reused; unknown fields are
// skipped. Unsigned values travel as the signed type of their width.
namespace cpp dotterellock.wire.generated

struct model_ref {
  1: binary name
  2: binary adapter
  3: binary version
}

struct sampling {
  1: i32 max_tokens
  2: double temperature
  3: i64 seed
}

// First frame of each connection, in both directions.
struct hello {
  1: binary peer
  2: binary software_version
}

struct reserve {
  1: binary request
  2: i32 attempt
  3: i64 epoch
  4: binary organisation
  5: i32 rank
  6: i32 kind
  7: model_ref model
  8: binary service_name
  9: i32 estimated_tokens
  10: i64 waiting_budget_ms
}

struct withdraw {
  1: binary request
  2: i32 attempt
}

struct offer {
  1: binary request
  2: i32 attempt
  3: i64 permit
  4: i64 incarnation
  5: i64 valid_for_ms
}

struct reserve_refused {
  1: binary request
  2: i32 attempt
  3: i32 reason
  4: i64 retry_after_ms
}

struct dispatch_generation {
  1: binary request
  2: i32 attempt
  3: i64 epoch
  4: i64 permit
  5: i64 incarnation
  6: binary organisation
  7: i32 rank
  8: model_ref model
  9: binary prompt
  10: list<binary> resume_tokens
  11: sampling sampling_settings
}

struct acknowledge {
  1: binary request
  2: i32 attempt
  3: i64 epoch
  4: i32 next_index
}

struct cancel {
  1: binary request
  2: i32 attempt
  3: i64 epoch
}

struct attach {
  1: binary request
  2: i64 epoch
  3: i32 next_index
  4: bool takeover
}

struct attach_result {
  1: binary request
  2: bool found
  3: i32 attempt
  4: i64 epoch
  5: i32 first_index
  6: i32 next_index
}

struct token_batch {
  1: binary request
  2: i32 attempt
  3: i64 epoch
  4: i32 first_index
  5: list<binary> tokens
}

struct generation_finished {
  1: binary request
  2: i32 attempt
  3: i64 epoch
  4: i32 next_index
  5: i32 reason
}

struct generation_failed {
  1: binary request
  2: i32 attempt
  3: i64 epoch
  4: i32 code
  5: binary step
  6: binary detail
  7: bool retryable
}

struct dispatch_call {
  1: binary request
  2: i32 attempt
  3: i64 permit
  4: i64 incarnation
  5: binary organisation
  6: binary service_name
  7: binary operation
  8: binary method
  9: binary path
  10: binary content_type
  11: binary body
  12: bool repeatable
  13: i64 timeout_ms
}

struct query_call {
  1: binary request
  2: i32 attempt
  3: i64 incarnation
  4: bool close_if_not_run
}

struct call_result {
  1: binary request
  2: i32 attempt
  3: i64 incarnation
  4: i32 outcome
  5: i32 status
  6: binary content_type
  7: binary body
  8: binary detail
}

struct ping {
  1: i64 sequence
}

struct pong {
  1: i64 sequence
}

struct load_report {
  1: binary endpoint
  2: i64 incarnation
  3: i32 running
  4: i32 capacity
  5: list<i32> waiting
  6: i64 waiting_tokens
  7: double tokens_per_second
  8: double tokens_per_second_per_stream
  9: bool draining
}

struct prefix_hint {
  1: binary endpoint
  2: list<i64> added
  3: list<i64> removed
}

struct journal_append {
  1: binary request
  2: i64 epoch
  3: binary endpoint
  4: i32 attempt
  5: i32 first_index
  6: list<binary> tokens
  7: bool finished
}

struct journal_appended {
  1: binary request
  2: i64 epoch
  3: i32 next_index
}

struct journal_read {
  1: binary request
}

struct journal_state {
  1: binary request
  2: bool found
  3: i64 epoch
  4: binary endpoint
  5: i32 attempt
  6: list<binary> tokens
}

struct configuration_digest {
  1: i64 version
}

struct configuration_push {
  1: i64 version
  2: binary document
}
