"""Memory and descriptors of a VM, and what its clients may take of them."""
