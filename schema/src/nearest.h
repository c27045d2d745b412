#ifndef SCHEMA_NEAREST_H
#define SCHEMA_NEAREST_H

/**
 * Number of letters to insert, delete or replace to turn one word into
 * another; both are cut at 63 letters.
 */
int schema_edit_distance(const char *a, const char *b);

#endif
