"""HTTP over trio streams by h11, server and client side."""
