#ifndef STORE_RESPONSE_H
#define STORE_RESPONSE_H

#include <primroselead/store.h>

/** Reads the store's answer into the call; pages of a list add up. */
enum prl_code store_parse_response(struct store_call *c);

#endif
