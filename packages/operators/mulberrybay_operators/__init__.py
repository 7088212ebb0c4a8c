"""The operators' HTTP API of mulberrybay and its command line."""
