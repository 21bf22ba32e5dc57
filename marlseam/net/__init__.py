"""The adapter between the decision module and real sockets."""
