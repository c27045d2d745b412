#include "edit_distance.h"
#include <string.h>

/* Bytes of a word that are compared. */
#define WORD_MAX_LEN 63

static int min3(int a, int b, int c)
{
	int m = a < b ? a : b;

	return m < c ? m : c;
}

int schema_edit_distance(const char *a, const char *b)
{
	int row[WORD_MAX_LEN + 1];
	int n = (int)strnlen(a, WORD_MAX_LEN);
	int m = (int)strnlen(b, WORD_MAX_LEN);

	for (int j = 0; j <= m; j++)
		row[j] = j;
	for (int i = 1; i <= n; i++) {
		int diagonal = row[0];

		row[0] = i;
		for (int j = 1; j <= m; j++) {
			int above = row[j];
			int same = a[i - 1] == b[j - 1];

			row[j] = min3(above + 1, row[j - 1] + 1,
				      diagonal + !same);
			diagonal = above;
		}
	}
	return row[m];
}
