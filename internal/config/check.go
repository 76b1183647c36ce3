package config

import (
	"fmt"
	"math"
	"net/http"
	"path"
	"regexp"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/jsonc"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// Limits on the values in a configuration.
const (
	// MaxPartitions bounds the size of the routing table, which every node keeps in
	// memory.
	MaxPartitions = 65536
	// maxMoveBudget limits concurrent planned moves to a small part of a service.
	maxMoveBudget = 1024
	// maxDeadlineMillis equals the retention of operation records. A request with a
	// later deadline could run a second time after its record has been deleted.
	maxDeadlineMillis wire.Millis = 24 * 60 * 60 * 1000
	// maxNameBytes limits the length of names because they appear in headers and
	// metrics.
	maxNameBytes = 63
)

// methods are the HTTP methods that callers may use. CONNECT and TRACE are
// excluded because they are not requests to a target.
var methods = []string{
	http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions,
	http.MethodPatch, http.MethodPost, http.MethodPut,
}

var classes = []wire.RouteClass{wire.RouteClassCritical, wire.RouteClassNormal, wire.RouteClassBrowse}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// headerPattern matches an HTTP field name as defined in RFC 9110.
var headerPattern = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")

// ValidName reports whether s is a valid name of a region, failure domain, service,
// route, node, replica or group: 1 to 63 lower-case letters, digits and inner
// hyphens.
func ValidName(s string) bool {
	return len(s) <= maxNameBytes && namePattern.MatchString(s)
}

// Check returns all errors in config. It names fields by their position, such as
// Routes[2].Path.
func Check(config wire.Configuration) []error {
	return toErrors(check(config))
}

// CheckChange returns the reasons why the current configuration cannot be replaced
// by the next one. The number of partitions of an existing service cannot change,
// because it determines the partition that each key hashes to.
func CheckChange(current, next wire.Configuration) []error {
	currentServices := make(map[wire.ServiceName]wire.ServiceConfig)
	for _, s := range current.Services {
		currentServices[s.Name] = s
	}
	var c checker
	for i, s := range next.Services {
		existing, ok := currentServices[s.Name]
		if ok && existing.Partitions != s.Partitions {
			c.fail(fmt.Sprintf("Services[%d].Partitions", i),
				"service %q has %d partitions; the number cannot change to %d while the service exists", s.Name, existing.Partitions, s.Partitions)
		}
	}
	return toErrors(c.problems)
}

// Validate runs Check and CheckChange and returns their errors as one ErrInvalid.
// Control replicas use it.
func Validate(current, next wire.Configuration) error {
	errs := append(Check(next), CheckChange(current, next)...)
	if len(errs) == 0 {
		return nil
	}
	messages := make([]string, len(errs))
	for i, e := range errs {
		messages[i] = e.Error()
	}
	return merry.Wrap(ErrInvalid, merry.WithMessage("invalid configuration: "+strings.Join(messages, "; ")))
}

func toErrors(problems jsonc.Problems) []error {
	var errs []error
	for _, p := range problems {
		errs = append(errs, p)
	}
	return errs
}

func check(config wire.Configuration) jsonc.Problems {
	var c checker
	c.checkRegions(config.Regions)
	keyed := c.checkServices(config.Services)
	c.checkRoutes(config.Routes, keyed)
	c.checkCallerLimits(config.CallerLimits)
	return c.problems
}

// checker collects the problems of one configuration.
type checker struct {
	problems jsonc.Problems
}

func (c *checker) fail(field, format string, args ...any) {
	c.problems = append(c.problems, &jsonc.Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

// checkName reports a name that is invalid or already in seen, and otherwise adds it
// to seen. Names are unique per kind; seen maps each name to its field.
func (c *checker) checkName(field, name, kind string, seen map[string]string) {
	if name == "" {
		c.fail(field, "is missing")
		return
	}
	if !ValidName(name) {
		c.fail(field, "%q is not a name: 1 to %d lower-case letters, digits and inner hyphens", name, maxNameBytes)
		return
	}
	if _, ok := seen[name]; ok {
		c.fail(field, "%s %q is declared twice", kind, name)
		return
	}
	seen[name] = field
}

func (c *checker) checkRegions(regions []wire.RegionConfig) {
	seenRegions := make(map[string]string)
	seenDomains := make(map[string]string)
	for i, r := range regions {
		field := fmt.Sprintf("Regions[%d]", i)
		c.checkName(field+".Name", string(r.Name), "region", seenRegions)
		if len(r.FailureDomains) == 0 {
			c.fail(field+".FailureDomains", "must name at least one failure domain")
		}
		for j, d := range r.FailureDomains {
			c.checkName(fmt.Sprintf("%s.FailureDomains[%d]", field, j), string(d), "failure domain", seenDomains)
		}
	}
}

// checkServices checks the services and returns whether each one is keyed.
func (c *checker) checkServices(services []wire.ServiceConfig) map[wire.ServiceName]bool {
	seenNames := make(map[string]string)
	keyed := make(map[wire.ServiceName]bool)
	for i, s := range services {
		field := fmt.Sprintf("Services[%d]", i)
		c.checkName(field+".Name", string(s.Name), "service", seenNames)
		keyed[s.Name] = s.Keyed
		c.checkPartitions(field, s)
	}
	return keyed
}

func (c *checker) checkPartitions(field string, s wire.ServiceConfig) {
	if !s.Keyed {
		if s.Partitions != 0 {
			c.fail(field+".Partitions", "must be absent because the service is not keyed")
		}
		if s.MoveBudget != 0 {
			c.fail(field+".MoveBudget", "must be absent because the service is not keyed")
		}
		return
	}
	if s.Partitions < 1 || s.Partitions > MaxPartitions {
		c.fail(field+".Partitions", "must be 1 to %d", MaxPartitions)
	}
	if s.MoveBudget < 1 || s.MoveBudget > maxMoveBudget {
		c.fail(field+".MoveBudget", "must be 1 to %d", maxMoveBudget)
	}
}

func (c *checker) checkRoutes(routes []wire.RouteConfig, keyed map[wire.ServiceName]bool) {
	seenNames := make(map[string]string)
	routeByMethodAndPath := make(map[string]wire.RouteName)
	for i, r := range routes {
		field := fmt.Sprintf("Routes[%d]", i)
		c.checkName(field+".Name", string(r.Name), "route", seenNames)
		c.checkRouteService(field, r, keyed)
		c.checkRouteMethods(field, r)
		c.checkRoutePath(field, r)
		c.checkRouteConflict(field, r, routeByMethodAndPath)
		if !slices.Contains(classes, r.Class) {
			c.fail(field+".Class", "%q is not a class: critical, normal or browse", r.Class)
		}
		if r.DeadlineMillis < 1 || r.DeadlineMillis > maxDeadlineMillis {
			c.fail(field+".DeadlineMillis", "must be 1 to %d", maxDeadlineMillis)
		}
	}
}

func (c *checker) checkRouteService(field string, r wire.RouteConfig, keyed map[wire.ServiceName]bool) {
	isKeyed, ok := keyed[r.Service]
	switch {
	case r.Service == "":
		c.fail(field+".Service", "is missing")
	case !ok:
		c.fail(field+".Service", "service %q is not declared", r.Service)
	case isKeyed && r.Key == nil:
		c.fail(field+".Key", "is missing, and service %q is keyed", r.Service)
	case !isKeyed && r.Key != nil:
		c.fail(field+".Key", "must be absent because service %q is not keyed", r.Service)
	}
	if r.Key != nil {
		c.checkKey(field+".Key", *r.Key)
	}
}

func (c *checker) checkKey(field string, source wire.KeySource) {
	switch source.From {
	case wire.KeyLocationPathSegment:
		if source.Segment < 1 {
			c.fail(field+".Segment", "must be 1 or more")
		}
		if source.Name != "" {
			c.fail(field+".Name", "must be absent with PathSegment")
		}
		return
	case wire.KeyLocationHeader:
		if !headerPattern.MatchString(source.Name) {
			c.fail(field+".Name", "%q is not a header name", source.Name)
		}
	case wire.KeyLocationQuery:
		if source.Name == "" {
			c.fail(field+".Name", "is missing")
		}
	default:
		c.fail(field+".From", "%q is not a place of keys: PathSegment, Header or Query", source.From)
		return
	}
	if source.Segment != 0 {
		c.fail(field+".Segment", "must be absent with %s", source.From)
	}
}

func (c *checker) checkRouteMethods(field string, r wire.RouteConfig) {
	if len(r.Methods) == 0 {
		c.fail(field+".Methods", "must name at least one method")
	}
	for i, m := range r.Methods {
		methodField := fmt.Sprintf("%s.Methods[%d]", field, i)
		switch {
		case !slices.Contains(methods, m):
			c.fail(methodField, "%q is not a method: %s", m, strings.Join(methods, ", "))
		case !r.Repeatable && (m == http.MethodGet || m == http.MethodHead):
			c.fail(methodField, "%s is repeatable by definition; set Repeatable to true", m)
		}
	}
}

func (c *checker) checkRoutePath(field string, r wire.RouteConfig) {
	switch {
	case !strings.HasPrefix(r.Path, "/"):
		c.fail(field+".Path", "must begin with /")
	case strings.ContainsAny(r.Path, "?#% "):
		c.fail(field+".Path", "must not contain ?, #, %% or a space")
	case strings.TrimSuffix(path.Clean(r.Path), "/") != strings.TrimSuffix(r.Path, "/"):
		c.fail(field+".Path", "must not contain empty segments, . or ..")
	}
}

// checkRouteConflict reports a method and path that an earlier route already has: a
// request could match both routes.
func (c *checker) checkRouteConflict(field string, r wire.RouteConfig, routeByMethodAndPath map[string]wire.RouteName) {
	for i, m := range r.Methods {
		methodAndPath := m + " " + r.Path
		if other, ok := routeByMethodAndPath[methodAndPath]; ok {
			c.fail(fmt.Sprintf("%s.Methods[%d]", field, i), "route %q already takes %s", other, methodAndPath)
			continue
		}
		routeByMethodAndPath[methodAndPath] = r.Name
	}
}

func (c *checker) checkCallerLimits(limits []wire.CallerLimit) {
	seenClasses := make(map[wire.RouteClass]bool)
	for i, l := range limits {
		field := fmt.Sprintf("CallerLimits[%d]", i)
		if !slices.Contains(classes, l.Class) {
			c.fail(field+".Class", "%q is not a class: critical, normal or browse", l.Class)
		} else if seenClasses[l.Class] {
			c.fail(field+".Class", "class %q has two limits", l.Class)
		}
		seenClasses[l.Class] = true
		if !(l.RequestsPerSecond > 0) || math.IsInf(l.RequestsPerSecond, 0) {
			c.fail(field+".RequestsPerSecond", "must be more than 0")
		}
	}
}
