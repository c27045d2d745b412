#ifndef STORE_ANSWER_H
#define STORE_ANSWER_H

#include <primroselead/store.h>

/** Reads the store's answer into the call; pages of a list add up. */
enum prl_code store_read_answer(struct store_call *c);

#endif
