"""Messages between daemons (design 3): frames on TCP, the shape of each kind of message, connections to peers."""
