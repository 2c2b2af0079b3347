"""Links to replicas: what is believed of each, the choice of one, and sends through peers."""
