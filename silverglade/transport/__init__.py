"""Messages between daemons (design 3): framing over TCP, validation of message shapes, connections to peers."""
