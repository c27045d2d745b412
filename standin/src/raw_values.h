#ifndef STANDIN_RAW_VALUES_H
#define STANDIN_RAW_VALUES_H

#include <jansson.h>
#include <stddef.h>

/* Values that the store holds as bytes, whether or not they can be read. */

/** Keeps the bytes. Returns the value that stands for them in the store. */
json_t *raw_value_new(const char *bytes, size_t len);

/** Replaces in a text what stands for bytes by these. Returns the text, which
 * is freed if it is replaced. */
char *raw_values_insert(char *text);

#endif
