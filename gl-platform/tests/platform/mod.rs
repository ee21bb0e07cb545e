mod http_client;
mod silent;
