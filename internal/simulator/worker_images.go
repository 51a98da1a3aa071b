package simulator

import (
	"slices"
	"time"
)

// imageCache holds the cached images of a machine and the fetches in progress.
type imageCache struct {
	recency     []string           // names of the cached images, the most recently used last
	sizesGB     map[string]float64 // size of each cached image
	remainingGB map[string]float64 // what is left to transfer of each image that is being fetched
}

func newImageCache() imageCache {
	return imageCache{sizesGB: map[string]float64{}, remainingGB: map[string]float64{}}
}

func (c *imageCache) cancelFetches() { c.remainingGB = map[string]float64{} }

// beginFetch begins to fetch an image, unless it is already being fetched. The fetch of a cached
// image completes without a transfer.
func (c *imageCache) beginFetch(image string, sizeGB float64) {
	if _, fetching := c.remainingGB[image]; fetching {
		return
	}
	if _, cached := c.sizesGB[image]; cached {
		sizeGB = 0
	}
	c.remainingGB[image] = sizeGB
}

// cancelUnneededFetches cancels the fetches of images for which no attempt waits.
func (c *imageCache) cancelUnneededFetches(waiting map[string][]attemptID) {
	for image := range c.remainingGB {
		if waiting[image] == nil {
			delete(c.remainingGB, image)
		}
	}
}

// nextToComplete returns which of the images that are being fetched will be complete first, and
// how many of them still have something to transfer.
func (c *imageCache) nextToComplete(images []string) (next string, transfers int) {
	next = images[0]
	for _, image := range images {
		if c.remainingGB[image] < c.remainingGB[next] {
			next = image
		}
		if c.remainingGB[image] > 0 {
			transfers++
		}
	}
	return next, transfers
}

// transfer continues the fetches of images for a duration, each at the rate gbPerSecond.
func (c *imageCache) transfer(images []string, gbPerSecond float64, duration time.Duration) {
	for _, image := range images {
		c.remainingGB[image] = max(0, c.remainingGB[image]-gbPerSecond*duration.Seconds())
	}
}

// timeToComplete returns how long the rest of an image's fetch takes at a rate.
func (c *imageCache) timeToComplete(image string, gbPerSecond float64) time.Duration {
	if c.remainingGB[image] <= 0 {
		return 0
	}
	return time.Duration(c.remainingGB[image] / gbPerSecond * float64(time.Second))
}

// addImage caches an image as the most recently used one. While the cache exceeds its capacity, it
// evicts the least recently used images that are not in use. A capacity of 0 means no limit.
func (c *imageCache) addImage(image string, sizeGB, capacityGB float64, inUse map[string]bool) {
	c.recency = append(slices.DeleteFunc(c.recency, func(other string) bool { return other == image }), image)
	c.sizesGB[image] = sizeGB
	totalGB := 0.0
	for _, cached := range c.recency {
		totalGB += c.sizesGB[cached]
	}
	c.recency = slices.DeleteFunc(c.recency, func(cached string) bool {
		if capacityGB <= 0 || totalGB <= capacityGB || cached == image || inUse[cached] {
			return false
		}
		totalGB -= c.sizesGB[cached]
		delete(c.sizesGB, cached)
		return true
	})
}

// imagesInUse returns the set of images of running attempts.
func (w *Worker) imagesInUse() map[string]bool {
	inUse := map[string]bool{}
	for id, status := range w.attempts {
		if status.state == attemptRunning {
			inUse[w.checker.JobOfTask(id.task).Image] = true
		}
	}
	return inUse
}

// advanceFetches continues the fetches up to the time now and starts the attempts whose image is
// complete. An image is fetched once for all attempts that wait for it. Images that are fetched at
// the same time share the fetch rate of the machine equally.
func (w *Worker) advanceFetches(now time.Duration) (changed bool) {
	at := w.advancedUntil
	w.advancedUntil = max(at, now)
	for {
		images, waiting := w.beginFetches()
		w.images.cancelUnneededFetches(waiting)
		if len(images) == 0 {
			return changed
		}
		next, transfers := w.images.nextToComplete(images)
		rate := w.MachineType.FetchGBPerS / float64(max(1, transfers))
		needed := w.images.timeToComplete(next, rate)
		step := min(needed, max(0, now-at))
		w.images.transfer(images, rate, step)
		at += step
		if step < needed {
			return changed
		}
		changed = true
		delete(w.images.remainingGB, next)
		for _, id := range waiting[next] {
			w.startAttempt(at, id)
		}
	}
}

// beginFetches begins to fetch the images of all attempts that wait for one, and returns these
// images, ordered by their first attempts, and the waiting attempts of each image.
func (w *Worker) beginFetches() (images []string, waiting map[string][]attemptID) {
	waiting = map[string][]attemptID{}
	for _, id := range w.sortedAttempts() {
		if w.attempts[id].state != attemptFetching {
			continue
		}
		job := w.checker.JobOfTask(id.task)
		if waiting[job.Image] == nil {
			images = append(images, job.Image)
		}
		waiting[job.Image] = append(waiting[job.Image], id)
		w.images.beginFetch(job.Image, job.ImageGB)
	}
	return images, waiting
}
