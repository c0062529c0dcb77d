"""Which upstream gets a request, and which requests are refused."""
