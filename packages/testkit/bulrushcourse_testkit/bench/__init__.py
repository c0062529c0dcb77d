"""Discrete-event comparison of ways to choose an instance.

It drives the domain classes with a manual clock. Networks are fixed delays
and instances are queues; it says nothing about sockets or processor time.
"""
