"""Quotas of client accounts over all VMs: shares, owners and tokens."""
