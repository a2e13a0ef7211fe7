"""What operators call and read: the management address and the figures. It is given what to do."""
