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
  /** Empty when the sender doesn't know which node is behind the address. */
  9: string recipient
  /** Wall clock of the sender in ms; bounds the time for which a receiver has to remember sequences. */
  10: i64 sentMs
  /** In a response: the sequence of its request. */
  11: i64 inReplyTo
}

struct member_record {
  1: string id
  2: string peerAddress
  3: string callerAddress
  4: string domain
  5: i64 started
  6: i64 configVersion
  7: i8 state
  8: string accuser
  /** By how much started is above the start time; absent for 0. */
  9: optional i64 refutations
}

struct fact_record {
  1: string key
  2: i16 kind
  3: binary payload
  4: string origin
  5: i64 originIncarnation
  6: i64 sequence
  /** Time left until the fact expires. */
  7: i64 lifetimeMs
}

/** The payload of a datagram; see policy/gossip_message.h. */
struct gossip_datagram {
  1: i8 type
  2: i64 probe
  3: optional string target
  4: optional string targetAddress
  5: i64 configVersion
  6: i64 memberDigest
  7: i64 factDigest
  8: optional list<i32> memberBuckets
  9: optional list<i32> factBuckets
  10: optional list<member_record> updates
  11: optional list<fact_record> facts
}

/** The payload of a response when the handler of the request failed. */
struct exchange_failure {
  1: i16 code
  2: string message
}

/** The TCP side between nodes: one request, one response. */
service peer_exchange {
  envelope exchange(1: envelope request)
}
