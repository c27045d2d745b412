#include <primroselead/header_list.h>

int header_list_append(struct header_list *l, const char *line)
{
	struct curl_slist *item = curl_slist_append(NULL, line);

	if (!item)
		return -1;
	if (l->last)
		l->last->next = item;
	else
		l->first = item;
	l->last = item;
	return 0;
}

void header_list_finish(struct header_list *l)
{
	curl_slist_free_all(l->first);
	l->first = NULL;
	l->last = NULL;
}
