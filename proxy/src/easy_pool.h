#ifndef PROXY_EASY_POOL_H
#define PROXY_EASY_POOL_H

#include <primroselead/proxy.h>

/* libcurl's handles of finished transfers, kept for the next ones. */

/** Receive buffer of one transfer, in bytes. */
#define EASY_RECEIVE_BUFFER_BYTES 8192L

/** Returns a handle with default options, but with a receive buffer of
 * EASY_RECEIVE_BUFFER_BYTES; null if out of memory. */
CURL *easy_pool_get(struct easy_pool *p);

/** Returns a handle whose transfer has ended or was removed. */
void easy_pool_put(struct easy_pool *p, CURL *easy);

/** Frees the idle handles. */
void easy_pool_finish(struct easy_pool *p);

#endif
