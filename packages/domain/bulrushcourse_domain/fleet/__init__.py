"""The VMs that run bulrushcourse, as tracked by each of them."""
