#ifndef SCHEMA_EDIT_DISTANCE_H
#define SCHEMA_EDIT_DISTANCE_H

/** Returns the Levenshtein distance of two words in bytes; only the first 63
 * bytes of each are compared. */
int schema_edit_distance(const char *a, const char *b);

#endif
