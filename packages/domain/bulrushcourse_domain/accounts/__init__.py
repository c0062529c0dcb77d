"""Client accounts: their keys, priorities, home regions and quotas."""
