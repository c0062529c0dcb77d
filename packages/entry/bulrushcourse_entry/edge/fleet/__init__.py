"""Reports between the VMs."""
