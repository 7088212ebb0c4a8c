"""The links between the nodes of mulberrybay."""
