#include <primroselead/steer.h>
#include <string.h>

int steer_find_service(const struct steer_view *v, const char *name, size_t len)
{
	int low = 0;
	int high = v->nservice - 1;

	/* Binary search: the table is sorted by name. */
	while (low <= high) {
		int mid = (low + high) / 2;
		const char *have = v->service[mid]->name;
		int order = strncmp(have, name, len);

		if (!order && have[len])
			order = 1;
		if (!order)
			return mid;
		if (order < 0)
			low = mid + 1;
		else
			high = mid - 1;
	}
	return STEER_NONE;
}

int steer_find_region(const struct steer_view *v, const char *name)
{
	for (int i = 0; i < v->nregion; i++)
		if (!strcmp(v->region[i], name))
			return i;
	return STEER_NONE;
}

static int path_matches(const char *rule, const char *path)
{
	size_t n = strlen(rule);

	if (n && rule[n - 1] == '*')
		return !strncmp(rule, path, n - 1);
	return !strcmp(rule, path);
}

int steer_runs_at_most_once(const struct steer_service *s, const char *method,
			    const char *path)
{
	for (int i = 0; i < s->nrule; i++)
		if (!strcmp(s->rule[i].method, method) &&
		    path_matches(s->rule[i].path, path))
			return 1;
	return 0;
}

int steer_link_semaphore_index(const struct steer_service *s, int from, int to)
{
	for (int i = 0; i < s->nlink; i++)
		if (s->link[i].from == from && s->link[i].to == to)
			return s->link[i].semaphore_index;
	return STEER_NONE;
}
