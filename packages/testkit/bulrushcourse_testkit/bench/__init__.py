"""Discrete-event simulation that compares load-balancing policies.

It drives the domain classes with a manual clock. Network delays are constant
and instances are queues; costs of sockets and CPU time are not modelled.
"""
