namespace py geraniumbend.wire

/** One request or response on a TCP connection between processes. */
struct RpcMessage {
  1: i64 call_id
  2: string method = ""
  3: binary body = ""
  4: string error_kind = ""
  5: string error_message = ""
  6: string error_remedy = ""
  7: string error_detail = ""
}
