mod http_client;
