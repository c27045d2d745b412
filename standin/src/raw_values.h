#ifndef STANDIN_RAW_VALUES_H
#define STANDIN_RAW_VALUES_H

#include <jansson.h>
#include <stddef.h>

/* Values that the store holds as bytes, whether or not they can be read. */

/** Returns the value of the store for what was written: JSON, else a text; with
 * "raw" what stands for the bytes as they are; null if there are none. */
json_t *raw_value_new(const char *bytes, size_t len, int raw);

/** Replaces in a text what stands for bytes by these. Returns the text, which
 * is freed if it is replaced. */
char *raw_values_insert(char *text);

#endif
