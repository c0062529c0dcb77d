"""Look-up answers and the list of VMs."""
