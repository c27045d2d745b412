#include <primroselead/schema.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

void prl_fault_add(struct prl_faults *faults, int line, const char *section,
		   const char *key, const char *fmt, ...)
{
	struct prl_fault *f;
	va_list ap;

	if (faults->n == PRL_FAULTS_MAX) {
		faults->dropped++;
		return;
	}
	f = &faults->fault[faults->n++];
	f->line = line;
	snprintf(f->section, sizeof(f->section), "%s", section);
	snprintf(f->key, sizeof(f->key), "%s", key);
	va_start(ap, fmt);
	vsnprintf(f->text, sizeof(f->text), fmt, ap);
	va_end(ap);
}

static int compare_lines(const void *a, const void *b)
{
	const struct prl_fault *x = a;
	const struct prl_fault *y = b;

	return x->line - y->line;
}

void prl_faults_sort(struct prl_faults *faults)
{
	qsort(faults->fault, (size_t)faults->n, sizeof(faults->fault[0]),
	      compare_lines);
}

void prl_fault_format(const struct prl_faults *faults, int i, char *text,
		      size_t size)
{
	const struct prl_fault *f = &faults->fault[i];

	if (!f->key[0]) {
		snprintf(text, size, "%s:%d: [%s]: %s", faults->file, f->line,
			 f->section, f->text);
		return;
	}
	snprintf(text, size, "%s:%d: [%s] %s: %s", faults->file, f->line,
		 f->section, f->key, f->text);
}

enum prl_code prl_faults_error(struct prl_faults *faults, struct prl_error *err)
{
	char first[400];
	int others = faults->n + faults->dropped - 1;

	if (!faults->n)
		return PRL_OK;
	prl_faults_sort(faults);
	prl_fault_format(faults, 0, first, sizeof(first));
	if (!others)
		return prl_error_set(err, PRL_E_CONFIG, "%s", first);
	return prl_error_set(err, PRL_E_CONFIG, "%s (and %d more fault%s)",
			     first, others, others > 1 ? "s" : "");
}

void prl_faults_print(const struct prl_faults *faults, FILE *out)
{
	char line[512];

	for (int i = 0; i < faults->n; i++) {
		prl_fault_format(faults, i, line, sizeof(line));
		fprintf(out, "%s\n", line);
	}
	if (faults->dropped)
		fprintf(out, "%s: %d more faults\n", faults->file,
			faults->dropped);
}
