"""The VMs that run bulrushcourse, as each of them knows the others."""
