namespace cpp snipefall.peer_messages

/** An authenticated message between two nodes. The authenticator covers all other fields. */
struct envelope {
  1: i32 protocolVersion
  2: string sender
  3: i64 senderIncarnation
  /** Grows with each message of a sender's incarnation; a receiver refuses repeats. */
  4: i64 sequence
  5: string keyId
  6: i16 kind
  7: binary payload
  8: binary authenticator
}

/** The TCP side between nodes: one request, one response. */
service peer_exchange {
  envelope exchange(1: envelope request)
}
