"""The nodes of one cluster: membership, configuration versions, audit and quotas, as pure state machines."""
