#ifndef SOAK_REQUEST_H
#define SOAK_REQUEST_H

#include "soak.h"
#include <curl/curl.h>

/** Draws a request, sends it to its VM with its id, and records what came of
 * it. While it "is_quiet" no faults of bytes are drawn. */
void soak_send_request(CURL *easy, GRand *random, int is_quiet,
		       struct soak_request *q);

#endif
