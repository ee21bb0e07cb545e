mod sent;
