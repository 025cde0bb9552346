//! Calls between our own processes: MessagePack over HTTP, typed by message.
