#ifndef PROXY_NEWS_H
#define PROXY_NEWS_H

#include "request.h"

/** Tells the control thread what the headers of the request's response say
 * about the upstream's state, if that is news. */
void news_read_response(struct proxy_request *r);

/** Tells the control thread that no upstream of the request's service seems to
 * be reached. */
void news_tell_isolated(const struct proxy_request *r);

#endif
