"""The daemon: wires the library's parts to sockets."""
