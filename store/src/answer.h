#ifndef STORE_ANSWER_H
#define STORE_ANSWER_H

#include <primroselead/store.h>

/** Reads the JSON answer of a list or watch into the call. */
enum prl_code store_read_list(struct store_call *c);

#endif
