"""Replication of the configuration: agreement on versions by Paxos, transfer of contents, quorum leases."""
