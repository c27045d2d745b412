#ifndef STORE_RESPONSE_H
#define STORE_RESPONSE_H

#include <primroselead/store.h>

/** Parses the store's response into the call's result; the objects of a list's
 * pages are appended. */
enum prl_code store_parse_response(struct store_call *c);

#endif
