// One HTTP exchange for small tools that have no io_context of their own.
#ifndef GERANIUMSAIL_NET_BLOCKINGHTTP_H
#define GERANIUMSAIL_NET_BLOCKINGHTTP_H

#include "net/httpclient.h"

namespace Geraniumsail {

/// Sends one request on a new connection and waits for the whole answer, however long.
HttpClient::Result sendBlocking(const Address &address, HttpRequest request, Duration timeout);

} // namespace Geraniumsail

#endif
