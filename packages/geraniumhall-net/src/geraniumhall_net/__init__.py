"""HTTP/1.1 servers and clients on trio streams, with h11."""
