"""HTTP and peer connections: servers, connection pools and messages."""
